package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runCase runs the script of a case, run.sh in the folder with its number, after the build of the deploy file and review/build.sh.
// The folder's name begins with "_", so that the default test run leaves these tests out.
func runCase(t *testing.T, number string) {
	t.Helper()
	runScript(t, number, "run.sh")
}

// runScript runs a script in the folder of a case.
func runScript(t *testing.T, number, script string) {
	t.Helper()
	command := exec.Command(filepath.Join("..", number, script))
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	if err := command.Run(); err != nil {
		t.Fatalf("case %s, %s: %v", number, script, err)
	}
}

// TestFrozenEntryRunsJobsOfLeftCallers runs case 1.
func TestFrozenEntryRunsJobsOfLeftCallers(t *testing.T) { runCase(t, "1") }

// TestCancelledJobRunsOn runs case 2.
func TestCancelledJobRunsOn(t *testing.T) { runCase(t, "2") }

// TestCancelledJobRunsOnElsewhere runs case 2 with a DELETE at another entry than the job's.
func TestCancelledJobRunsOnElsewhere(t *testing.T) { runScript(t, "2", "other-entry.sh") }

// TestLateOrderRunsInNextLife runs case 3.
func TestLateOrderRunsInNextLife(t *testing.T) { runCase(t, "3") }
