// Package scripts_test tests the scripts of the test run.
package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// entry is a complete entry of a list of known failures.
const entry = `# A comment.
test: TestListed
command: go test ./listed -run TestListed
seed: none
observed: it fails
issue: 1
`

// module has the files of a module with a test that is listed, one that is not, and the
// soaks of a test run.
var module = map[string]string{
	"go.mod":         "module example.com/listed\n",
	"Makefile":       "soak-short:\n\tscripts/soak.sh --seed 14 --for 10s\n",
	"listed_test.go": "package listed\n\nimport \"testing\"\n\nfunc TestListed(t *testing.T) { t.Fatal(\"listed\") }\n\nfunc TestOther(t *testing.T) { t.Log(\"other\") }\n",
}

// knownRed runs known-red.sh in a folder with the files of module, changed by a list
// and by the outcome of TestOther. It returns the output.
func knownRed(c *qt.C, dir, list string, arguments ...string) (string, error) {
	script, err := filepath.Abs("known-red.sh")
	c.Assert(err, qt.IsNil)
	for name, content := range module {
		c.Assert(os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600), qt.IsNil)
	}
	c.Assert(os.WriteFile(filepath.Join(dir, "list"), []byte(list), 0o600), qt.IsNil)
	command := exec.Command(script, arguments...) //nolint:gosec // The script is part of the repository.
	command.Dir = dir
	command.Env = append(os.Environ(), "KNOWN_RED=list")
	output, err := command.CombinedOutput()
	return strings.TrimSpace(string(output)), err
}

// TestKnownRedCheck checks that only complete entries that name an existing test are
// accepted.
func TestKnownRedCheck(t *testing.T) {
	tests := []struct {
		name    string
		list    string
		message string // message is part of the error, and empty for a valid list.
	}{
		{name: "no entry", list: "# A comment.\n"},
		{name: "a test", list: entry},
		{name: "a case of a test", list: strings.Replace(entry, "TestListed\n", "TestListed/case\n", 1)},
		{name: "two entries", list: entry + "\n" + strings.Replace(entry, "TestListed\n", "soak 14\n", 1)},
		{name: "a field is missing", list: strings.Replace(entry, "issue: 1\n", "", 1), message: `entry 1 has 0 fields "issue"`},
		{name: "a field is empty", list: strings.Replace(entry, "seed: none", "seed:", 1), message: `entry 1 has 0 fields "seed"`},
		{name: "an unknown field", list: entry + "note: none\n", message: "entry 1 has 6 lines, want 5"},
		{name: "no such test", list: strings.Replace(entry, "TestListed\n", "TestMissing\n", 1), message: "0 files have a test TestMissing"},
		{name: "no such soak", list: strings.Replace(entry, "TestListed\n", "soak 4\n", 1), message: "the test run has no soak 4"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			output, err := knownRed(c, t.TempDir(), test.list, "check")
			c.Assert(err == nil, qt.Equals, test.message == "", qt.Commentf("%s", output))
			c.Assert(output, qt.Contains, test.message)
		})
	}
}

// TestKnownRedSkip checks that a test run passes over a listed test that fails, and
// fails if a test fails that is not listed.
func TestKnownRedSkip(t *testing.T) {
	tests := []struct {
		name   string
		list   string
		passes bool
	}{
		{name: "listed", list: entry, passes: true},
		{name: "not listed", list: strings.Replace(entry, "TestListed\n", "TestOther\n", 1), passes: false},
		{name: "another case listed", list: strings.Replace(entry, "TestListed\n", "TestListed/case\n", 1), passes: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			dir := t.TempDir()
			pattern, err := knownRed(c, dir, test.list, "skip")
			c.Assert(err, qt.IsNil)
			command := exec.Command("go", "test", "-skip", pattern, ".") //nolint:gosec // The pattern is that of the script.
			command.Dir = dir
			command.Env = append(os.Environ(), "GOWORK=off")
			output, err := command.CombinedOutput()
			c.Assert(err == nil, qt.Equals, test.passes, qt.Commentf("%s", output))
		})
	}
}

// TestKnownRedSoak checks that only listed soaks are passed over.
func TestKnownRedSoak(t *testing.T) {
	tests := []struct {
		seed   string
		listed bool
	}{
		{seed: "14", listed: true},
		{seed: "1", listed: false},
		{seed: "2", listed: false},
	}
	for _, test := range tests {
		c := qt.New(t)
		_, err := knownRed(c, t.TempDir(), strings.Replace(entry, "TestListed\n", "soak 14\n", 1), "soak", test.seed)
		c.Assert(err == nil, qt.Equals, test.listed, qt.Commentf("seed %s", test.seed))
	}
}
