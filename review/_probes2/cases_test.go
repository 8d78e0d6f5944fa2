package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runCase runs the script of a case, after the build of the deploy file and review/build-2.sh. The name of
// this folder begins with "_", so that the default test run leaves these tests out.
func runCase(t *testing.T, number string) {
	t.Helper()
	command := exec.Command(filepath.Join("..", number, "run.sh"))
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	if err := command.Run(); err != nil {
		t.Fatalf("case %s: %v", number, err)
	}
}

// TestLateOrderRunsBesideResubmission runs case 6.
func TestLateOrderRunsBesideResubmission(t *testing.T) { runCase(t, "6") }

// TestAtMostOnceTaskRunsTwice runs case 7.
func TestAtMostOnceTaskRunsTwice(t *testing.T) { runCase(t, "7") }

// TestPlannedStopCutsCallersAPI runs case 8.
func TestPlannedStopCutsCallersAPI(t *testing.T) { runCase(t, "8") }

// TestCancelledJobRunsAfterRestart runs case 9.
func TestCancelledJobRunsAfterRestart(t *testing.T) { runCase(t, "9") }

// TestCancelledJobOfRenamedQueueRunsOn runs case 10.
func TestCancelledJobOfRenamedQueueRunsOn(t *testing.T) { runCase(t, "10") }
