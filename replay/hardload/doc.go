// Package hardload has tests that replay hard load for seconds of simulated time: scarce
// capacity, uneven demand, and tasks that slow each other down. They are apart from those
// of package replay, so that both run at the same time.
package hardload
