package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pollenfront/pollenfront/settings"
)

// FuzzLoad checks that any settings file is either accepted or rejected with an error.
func FuzzLoad(f *testing.F) {
	for _, content := range []string{
		"name = \"agent-1\"\nlink-port = 7100\nseeds = [\"10.0.0.1:7100\"]\nstop-limit = \"6s\"\n", "name = 3", "seeds = [", "stop-limit = \"-1ns\"\nunknown = true\n", "",
	} {
		f.Add(content)
	}
	file := filepath.Join(f.TempDir(), "settings.toml")
	f.Fuzz(func(t *testing.T, content string) {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		_ = settings.Load(file, &settings.Agent{})
		_ = settings.Load(file, &settings.Entry{})
	})
}
