package driver

import "github.com/pollenfront/pollenfront"

// SetInterference sets whether interference between runs is measured and reported. It must
// be called before Run.
func (d *Driver) SetInterference(mode pollenfront.InterferenceMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executor.SetInterference(mode)
}
