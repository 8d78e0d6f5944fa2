package fleet

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// Second octets of the ranges among which reserveRange looks for a free one. The ranges
// below are left to other uses of the machine.
const (
	firstOctet = 40
	lastOctet  = 239
)

// A RangeInUseError reports that another fleet uses the requested range of addresses.
type RangeInUseError struct {
	Octet int // Octet is the second octet of the range.
}

// Error implements error.
func (e RangeInUseError) Error() string {
	return fmt.Sprintf("the address range %s is in use by another fleet: choose another octet, or leave it out to use a free one", addressRange(e.Octet))
}

// reserveRange reserves the range of addresses with the given second octet, or the first
// free one if octet is zero. It returns the octet, and the listener for the store, whose
// address is the reservation: a fleet holds it until its process ends.
func reserveRange(octet int) (net.Listener, int, error) {
	if octet != 0 {
		listener, err := listenForStore(octet)
		if errors.Is(err, syscall.EADDRINUSE) {
			return nil, 0, RangeInUseError{Octet: octet}
		}
		return listener, octet, err
	}
	for candidate := firstOctet; candidate <= lastOctet; candidate++ {
		listener, err := listenForStore(candidate)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, candidate, err
		}
	}
	return nil, 0, fmt.Errorf("all address ranges from %s to %s are in use", addressRange(firstOctet), addressRange(lastOctet))
}

// listenForStore listens at the address of the store in a range.
func listenForStore(octet int) (net.Listener, error) {
	return net.Listen("tcp", address(octet, 0, 1, storePort))
}

// address returns an address in the range with the given second octet. See Fleet.address
// for the groups.
func address(octet, group, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", octet, group, i, port)
}

// addressRange returns the range of addresses with the given second octet.
func addressRange(octet int) string {
	return fmt.Sprintf("127.%d.0.0/16", octet)
}
