package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runCase runs the script of a case, after the build of the deploy file and review/build.sh.
// The folder's name begins with "_", so that the default test run leaves these tests out.
func runCase(t *testing.T, number string) {
	t.Helper()
	command := exec.Command(filepath.Join("..", number, "run.sh"))
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	if err := command.Run(); err != nil {
		t.Fatalf("case %s: %v", number, err)
	}
}

// TestFrozenEntryRunsJobsOfLeftCallers runs case 1.
func TestFrozenEntryRunsJobsOfLeftCallers(t *testing.T) { runCase(t, "1") }

// TestCancelledJobRunsOn runs case 2.
func TestCancelledJobRunsOn(t *testing.T) { runCase(t, "2") }

// TestLateOrderRunsInNextLife runs case 3.
func TestLateOrderRunsInNextLife(t *testing.T) { runCase(t, "3") }
