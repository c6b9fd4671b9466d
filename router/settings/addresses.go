package settings

import (
	"fmt"
	"net/netip"
)

// listeners returns each listener's path and address in a fixed order.
func (s *Settings) listeners() [][2]string {
	l := s.Listen
	return [][2]string{
		{"listen.caller", l.Caller}, {"listen.peer", l.Peer}, {"listen.platform", l.Platform},
		{"listen.operator", l.Operator}, {"listen.admin", l.Admin},
	}
}

func (c *checker) checkListeners() {
	if c.settings.Listen.Peer == "" {
		c.Report("listen.peer", "is missing: every process needs a peer listener")
	}
	type usedAddress struct {
		path    string
		address netip.AddrPort
	}
	var used []usedAddress
	for _, listener := range c.settings.listeners() {
		path, text := listener[0], listener[1]
		if text == "" {
			continue
		}
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			c.Report(path, "%q is not an address with a numeric IP and a port, such as 127.0.0.1:7000 or [::1]:7000", text)
			continue
		}
		for _, other := range used {
			if overlap(address, other.address) {
				c.Report(path, "%s is also used by %s", text, other.path)
			}
		}
		used = append(used, usedAddress{path, address})
	}
}

// overlap reports whether two listeners cannot both be opened. An unspecified
// address uses the port on every address. Port 0 never conflicts.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() == 0 || a.Port() != b.Port() {
		return false
	}
	x, y := a.Addr().Unmap(), b.Addr().Unmap()
	return x == y || x.IsUnspecified() || y.IsUnspecified()
}

func (c *checker) checkPeers() {
	peers := c.settings.Control.Peers
	if len(peers) == 0 {
		c.Report("control.peers", "is missing: every process needs the control replicas' addresses")
	}
	ids, addresses := map[string]int{}, map[netip.AddrPort]int{}
	for i, p := range peers {
		path := fmt.Sprintf("control.peers[%d]", i)
		c.CheckName(path+".id", p.ID)
		if first, duplicate := ids[p.ID]; duplicate && p.ID != "" {
			c.Report(path+".id", "%q is also the id of control.peers[%d]", p.ID, first)
		} else {
			ids[p.ID] = i
		}
		address, err := netip.ParseAddrPort(p.Address)
		switch {
		case p.Address == "":
			c.Report(path+".address", "is missing")
			continue
		case err != nil:
			c.Report(path+".address", "%q is not an address with a numeric IP and a port", p.Address)
			continue
		case address.Port() == 0 || address.Addr().IsUnspecified():
			c.Report(path+".address", "%q cannot be dialled: name the IP and the port", p.Address)
			continue
		}
		if first, duplicate := addresses[address]; duplicate {
			c.Report(path+".address", "%s is also the address of control.peers[%d]", p.Address, first)
		} else {
			addresses[address] = i
		}
	}
}
