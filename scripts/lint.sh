#!/usr/bin/env bash
# Checks the format and style of all modules with golangci-lint. Installs the
# linter into bin/ unless bin/ already has the version below.
set -eu
cd "$(dirname "$0")/.."
version=v2.15.0
if ! bin/golangci-lint version 2>/dev/null | grep -q "${version#v}"; then
  GOWORK=off GOBIN="$PWD/bin" go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$version"
fi
status=0
for module in . agent compare entry pollenctl soak standin; do
  (cd "$module" && "$OLDPWD/bin/golangci-lint" run --config "$OLDPWD/.golangci.yml" ./...) || status=1
done
exit $status
