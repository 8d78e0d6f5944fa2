package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runScript runs the script of a case, after the build of the deploy file and review/build-3.sh. The name
// of this folder begins with "_", so that the default test run leaves these tests out.
func runScript(t *testing.T, number string) {
	t.Helper()
	command := exec.Command(filepath.Join("..", number, "run.sh"))
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	if err := command.Run(); err != nil {
		t.Fatalf("case %s: %v", number, err)
	}
}

// TestTokenBehindPredecessor runs case 11.
func TestTokenBehindPredecessor(t *testing.T) { runScript(t, "11") }

// TestUnlimitedAttemptsHangEntry runs case 12.
func TestUnlimitedAttemptsHangEntry(t *testing.T) { runScript(t, "12") }
