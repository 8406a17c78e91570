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

// InstanceConfig holds the name, data centre, addresses and data folder of an instance.
type InstanceConfig struct {
	Name        string
	DataCentre  string
	PeerAddress string // address for other instances
	HTTPAddress string // address for callers
	DataFolder  string // empty without a disk
}

// URL returns the base URL for callers.
func (c InstanceConfig) URL() string { return "http://" + c.HTTPAddress }

// Layout describes a system on this machine. The first instance of each data centre has a
// disk.
type Layout struct {
	instances            []InstanceConfig
	extraSettings        string                    // appended to the settings of each instance
	peerAddressOverrides map[peerConnection]string // set by SetPeerAddress
}

// peerConnection identifies the connections from the instances of a data centre to an
// instance.
type peerConnection struct {
	fromCentre string
	instance   string
}

// NewLayout returns a layout with perCentre instances in each data centre and data
// folders below folder. extraSettings is added to each settings file.
func NewLayout(folder string, centres []string, perCentre int, extraSettings string) (*Layout, error) {
	l := &Layout{extraSettings: extraSettings, peerAddressOverrides: make(map[peerConnection]string)}
	for _, centre := range centres {
		for n := range perCentre {
			addresses, err := freeAddresses(2)
			if err != nil {
				return nil, err
			}
			config := InstanceConfig{Name: fmt.Sprintf("%s-%d", centre, n+1), DataCentre: centre, PeerAddress: addresses[0], HTTPAddress: addresses[1]}
			if n == 0 {
				config.DataFolder = filepath.Join(folder, config.Name)
			}
			l.instances = append(l.instances, config)
		}
	}
	return l, nil
}

// Ports of layouts are below the ephemeral ports of the operating system.
const (
	firstPort    = 12_000
	portCount    = 20_000
	portStride   = 131 // between the first ports of processes with consecutive ids
	maxPortTries = 1000
)

// nextPort counts the ports that this process has tried.
var nextPort atomic.Int64

// freeAddresses returns unused loopback addresses. It tries up to maxPortTries ports.
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
	for _, config := range l.instances {
		urls = append(urls, config.URL())
	}
	return urls
}

// SetPeerAddress sets the address, such as that of a proxy, at which the instances of a
// data centre connect to an instance.
func (l *Layout) SetPeerAddress(centre, name, address string) {
	l.peerAddressOverrides[peerConnection{centre, name}] = address
}

// instancesWithDisk returns the instances with a disk, of one data centre or, if centre is
// empty, of all.
func (l *Layout) instancesWithDisk(centre string) []InstanceConfig {
	var configs []InstanceConfig
	for _, config := range l.instances {
		if config.DataFolder != "" && (centre == "" || config.DataCentre == centre) {
			configs = append(configs, config)
		}
	}
	return configs
}

// Settings returns the TOML settings of one instance.
func (l *Layout) Settings(config InstanceConfig) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ndata_centre = %q\npeer_address = %q\nhttp_address = %q\npeer_keys = [\"loopback\"]\n", config.Name, config.DataCentre, config.PeerAddress, config.HTTPAddress)
	if config.DataFolder != "" {
		fmt.Fprintf(&b, "data_folder = %q\n", config.DataFolder)
	}
	b.WriteString(l.extraSettings)
	for _, other := range l.instances {
		address := other.PeerAddress
		if proxy := l.peerAddressOverrides[peerConnection{config.DataCentre, other.Name}]; proxy != "" {
			address = proxy
		}
		fmt.Fprintf(&b, "\n[[instance]]\nname = %q\naddress = %q\ndata_centre = %q\n", other.Name, address, other.DataCentre)
	}
	l.writeLedgers(&b)
	return b.String()
}

// writeLedgers writes the placement of ledgers. The configuration ledger and the home
// ledger of each data centre have an odd number of replicas: on all disks, or on all but
// one. The local ledger of a data centre has its only replica there.
func (l *Layout) writeLedgers(b *strings.Builder) {
	var all []string
	for _, config := range l.instancesWithDisk("") {
		all = append(all, fmt.Sprintf("%q", config.Name))
	}
	replicas := all[:len(all)-(len(all)+1)%2]
	fmt.Fprintf(b, "\n[[ledger]]\nid = \"config\"\nreplicas = [%s]\n", strings.Join(replicas, ", "))
	written := make(map[string]bool)
	for _, config := range l.instances {
		if written[config.DataCentre] {
			continue
		}
		written[config.DataCentre] = true
		fmt.Fprintf(b, "\n[[ledger]]\nid = \"home/%s\"\nreplicas = [%s]\nprefer = %q\n", config.DataCentre, strings.Join(replicas, ", "), config.Name)
		if localDisks := l.instancesWithDisk(config.DataCentre); len(localDisks) > 0 {
			fmt.Fprintf(b, "\n[[ledger]]\nid = \"local/%s\"\nreplicas = [%q]\n", config.DataCentre, localDisks[0].Name)
		}
	}
}
