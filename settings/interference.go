package settings

import (
	"strconv"

	"github.com/pollenfront/pollenfront"
)

// interference sets the default of a mode, and adds an error if it is not known.
func (v *validator) interference(mode *pollenfront.InterferenceMode) {
	switch *mode {
	case "":
		*mode = pollenfront.InterferenceOff
	case pollenfront.InterferenceOff, pollenfront.InterferenceObserve, pollenfront.InterferenceAvoid:
	default:
		v.add("interference", strconv.Quote(string(*mode)), "write off, observe or avoid")
	}
}
