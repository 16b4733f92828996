package crocusstile

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Bounds of a registration. The list may contain registrations that neither a VM nor a runner has written.
const (
	// maxNameBytes bounds an ID or name: the store gives the length of a key in one byte.
	maxNameBytes = 255
	// maxAddressBytes bounds an address: an IPv6 address and port take at most 53 bytes.
	maxAddressBytes = 64
	// MaxSlots bounds the slots of a runner. A runner serves one request at a time on a connection and accepts a few hundred
	// connections. Sums of slots over the largest deployment stay within 32 bits.
	MaxSlots Slots = 4096
)

// Validate returns an error if no requests can be sent by this registration, whose strings and numbers may be anything.
func (r *Runner) Validate() error {
	switch {
	case !isToken(string(r.ID)):
		return errors.Newf("runner ID is empty, too long or not printable ASCII: %.40q", r.ID)
	case r.Service == "" || len(r.Service) > maxNameBytes:
		return errors.Newf("service has a name of %d bytes", len(r.Service))
	case r.DataCentre == "" || len(r.DataCentre) > maxNameBytes:
		return errors.Newf("data centre has a name of %d bytes", len(r.DataCentre))
	case r.Slots < 1 || r.Slots > MaxSlots:
		return errors.Newf("%d slots are not between 1 and %d", r.Slots, MaxSlots)
	}
	return r.Address.Validate()
}

// Validate returns an error unless the address consists of the IP address of one machine and a port.
func (a Address) Validate() error {
	if len(a) > maxAddressBytes {
		return errors.Newf("address of %d bytes", len(a))
	}
	parsed, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return err
	}
	if ip := parsed.Addr(); parsed.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return errors.Newf("not the address and port of one machine: %q", a)
	}
	return nil
}

// isToken reports whether an ID can be sent as the value of a header: it consists of visible ASCII characters.
func isToken(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= maxNameBytes
}
