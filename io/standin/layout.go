package standin

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// InstanceConfig is one instance of a layout on this machine.
type InstanceConfig struct {
	Name       string
	DataCentre string
	PeerAddress       string // address for other instances
	HTTPAddress       string // address for callers
	DataFolder     string // data folder, empty without a disk
}

// URL returns the base URL for callers.
func (p InstanceConfig) URL() string { return "http://" + p.HTTPAddress }

// Layout is a system on this machine: instances in data centres, the first of
// each data centre with a disk.
type Layout struct {
	instances []InstanceConfig
	extra  string // lines of each settings file
	dial   map[link]string
}

// link is the way from a data centre to an instance.
type link struct {
	centre string
	name   string
}

// NewLayout returns a layout with perCentre instances in each data centre and
// data folders below folder. extra is added to each settings file.
func NewLayout(folder string, centres []string, perCentre int, extra string) (*Layout, error) {
	l := &Layout{extra: extra, dial: make(map[link]string)}
	for _, centre := range centres {
		for n := range perCentre {
			addresses, err := freeAddresses(2)
			if err != nil {
				return nil, err
			}
			place := InstanceConfig{Name: fmt.Sprintf("%s-%d", centre, n+1), DataCentre: centre, PeerAddress: addresses[0], HTTPAddress: addresses[1]}
			if n == 0 {
				place.DataFolder = filepath.Join(folder, place.Name)
			}
			l.instances = append(l.instances, place)
		}
	}
	return l, nil
}

// Ports of layouts lie below those that the system hands out by itself.
const (
	firstPort    = 12_000
	portCount    = 20_000
	portStride   = 131
	maxPortTries = 1000
)

// nextPort counts the ports tried so far.
var nextPort atomic.Int64

// freeAddresses returns unused loopback addresses.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range maxPortTries {
		port := firstPort + (os.Getpid()*portStride+int(nextPort.Add(1)))%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		listener.Close()
		if addresses = append(addresses, listener.Addr().String()); len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, errors.New("no free port")
}

// Instances returns the instances.
func (l *Layout) Instances() []InstanceConfig { return l.instances }

// URLs returns the base URLs of all instances.
func (l *Layout) URLs() []string {
	var urls []string
	for _, p := range l.instances {
		urls = append(urls, p.URL())
	}
	return urls
}

// SetPeerAddress sets the address under which the instances of a data centre know an
// instance, such as a proxy's.
func (l *Layout) SetPeerAddress(centre, name, address string) { l.dial[link{centre, name}] = address }

// disks returns the instances with a disk, those of one data centre if given.
func (l *Layout) disks(centre string) []InstanceConfig {
	var places []InstanceConfig
	for _, p := range l.instances {
		if p.DataFolder != "" && (centre == "" || p.DataCentre == centre) {
			places = append(places, p)
		}
	}
	return places
}

// Settings returns the settings file of one instance.
func (l *Layout) Settings(p InstanceConfig) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ndata_centre = %q\npeer_address = %q\nhttp_address = %q\npeer_keys = [\"loopback\"]\n", p.Name, p.DataCentre, p.PeerAddress, p.HTTPAddress)
	if p.DataFolder != "" {
		fmt.Fprintf(&b, "data_folder = %q\n", p.DataFolder)
	}
	b.WriteString(l.extra)
	for _, other := range l.instances {
		address := other.PeerAddress
		if proxy := l.dial[link{p.DataCentre, other.Name}]; proxy != "" {
			address = proxy
		}
		fmt.Fprintf(&b, "\n[[instance]]\nname = %q\naddress = %q\ndata_centre = %q\n", other.Name, address, other.DataCentre)
	}
	l.writeLedgers(&b)
	return b.String()
}

// writeLedgers writes the placement: the configuration ledger and a home
// ledger for each data centre on all disks, and a local ledger on each data
// centre's own.
func (l *Layout) writeLedgers(b *strings.Builder) {
	var all []string
	for _, p := range l.disks("") {
		all = append(all, fmt.Sprintf("%q", p.Name))
	}
	odd := all[:len(all)-(len(all)+1)%2]
	fmt.Fprintf(b, "\n[[ledger]]\nid = \"config\"\nreplicas = [%s]\n", strings.Join(odd, ", "))
	seen := make(map[string]bool)
	for _, p := range l.instances {
		if seen[p.DataCentre] {
			continue
		}
		seen[p.DataCentre] = true
		fmt.Fprintf(b, "\n[[ledger]]\nid = \"home/%s\"\nreplicas = [%s]\nprefer = %q\n", p.DataCentre, strings.Join(odd, ", "), p.Name)
		if own := l.disks(p.DataCentre); len(own) > 0 {
			fmt.Fprintf(b, "\n[[ledger]]\nid = \"local/%s\"\nreplicas = [%q]\n", p.DataCentre, own[0].Name)
		}
	}
}
