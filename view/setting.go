package view

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pollenfront/pollenfront/refusal"
)

// Keys of the settings that are agreed on.
const (
	SettingPolicy     = "policy"      // Name of the dispatch policy.
	SettingQueueDepth = "queue-depth" // Tasks at an agent beyond the slots.
)

// Defaults of the settings.
const (
	DefaultPolicy     = "expected"
	DefaultQueueDepth = 1

	maxQueueDepth = 64
)

// Policies lists the names of the dispatch policies, in alphabetical order.
var Policies = []string{"expected", "least-outstanding", "random", "round-robin", "two-choices"}

// A Setting is one setting that is agreed on.
type Setting struct {
	Changed uint64 `json:"changed"` // Version of the last change.
	Key     string `json:"key"`
	Value   string `json:"value"`
}

// Policy returns the name of the dispatch policy.
func (v *View) Policy() string {
	if value, ok := v.setting(SettingPolicy); ok {
		return value
	}
	return DefaultPolicy
}

// QueueDepth returns the number of tasks that an agent takes beyond the slots
// of its backend server.
func (v *View) QueueDepth() int {
	if value, ok := v.setting(SettingQueueDepth); ok {
		if depth, err := strconv.Atoi(value); err == nil {
			return depth
		}
	}
	return DefaultQueueDepth
}

// EffectiveSettings returns all settings, those that were never changed with
// their defaults.
func (v *View) EffectiveSettings() []Setting {
	effective := []Setting{
		{Key: SettingPolicy, Value: DefaultPolicy},
		{Key: SettingQueueDepth, Value: strconv.Itoa(DefaultQueueDepth)},
	}
	for _, s := range v.Settings {
		effective = put(effective, s, func(s Setting) string { return s.Key })
	}
	return effective
}

// setting returns the value of a setting.
func (v *View) setting(key string) (string, bool) {
	i := slices.IndexFunc(v.Settings, func(s Setting) bool { return s.Key == key })
	if i < 0 {
		return "", false
	}
	return v.Settings[i].Value, true
}

// setSetting changes a setting after checking its value.
func (v *View) setSetting(change Change, present uint64) error {
	setting := change.Setting
	if err := checkSetting(setting); err != nil {
		return err
	}
	i := slices.IndexFunc(v.Settings, func(s Setting) bool { return s.Key == setting.Key })
	if i >= 0 {
		if err := checkBase("setting "+setting.Key, change.Base, v.Settings[i].Changed, present); err != nil {
			return err
		}
	}
	setting.Changed = v.Version
	v.Settings = put(v.Settings, setting, func(s Setting) string { return s.Key })
	return nil
}

// checkSetting returns a refusal.BadRequest error if a setting is not known or
// its value is out of range.
func checkSetting(setting Setting) error {
	switch setting.Key {
	case SettingPolicy:
		if !slices.Contains(Policies, setting.Value) {
			return refusal.New(refusal.BadRequest, "policy %q is not one of %s", setting.Value, strings.Join(Policies, ", "))
		}
	case SettingQueueDepth:
		depth, err := strconv.Atoi(setting.Value)
		if err != nil || depth < 0 || depth > maxQueueDepth {
			return refusal.New(refusal.BadRequest, "queue-depth %q is not a whole number from 0 to %d", setting.Value, maxQueueDepth)
		}
	default:
		return refusal.New(refusal.BadRequest, "unknown setting %q; the settings are %s and %s", setting.Key, SettingPolicy, SettingQueueDepth)
	}
	return nil
}
