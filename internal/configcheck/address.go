package configcheck

import "net/netip"

// AddressForm is the accepted form of every address.
const AddressForm = `IP:port such as "10.0.0.1:8080"; names are not looked up`

// ValidAddress reports whether the text is an IP address without a zone and a port other than 0.
func ValidAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && address.Addr().Zone() == ""
}

// ReachableAddress reports whether the text is a valid address that another host can connect
// to, which excludes the unspecified address.
func ReachableAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && ValidAddress(text) && !address.Addr().IsUnspecified()
}
