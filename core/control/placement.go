package control

import (
	"strings"

	"papayaquay/core/home"
	"papayaquay/core/ledger"

	"github.com/cespare/xxhash/v2"
)

// ConfigLedger is the id of the configuration ledger.
const ConfigLedger ledger.ID = "config"

// homePrefix starts the id of every home ledger; the name of its data centre
// or a longer name follows.
const homePrefix = "home/"

// localPrefix starts the id of every local ledger; the name of its data centre
// follows.
const localPrefix = "local/"

// LocalLedger returns the id of a data centre's local ledger, which keeps
// answers while their home ledger is out of reach.
func LocalLedger(dataCentre string) ledger.ID { return ledger.ID(localPrefix + dataCentre) }

// IsLocal reports whether a ledger is a local ledger.
func IsLocal(id ledger.ID) bool { return strings.HasPrefix(string(id), localPrefix) }

// Placement says which instances hold the replicas of a ledger.
type Placement struct {
	ledger          ledger.ID
	replicas        []string
	preferredLeader string
}

// NewPlacement returns a placement; prefer names the instance that should lead,
// or nothing.
func NewPlacement(id ledger.ID, replicas []string, prefer string) Placement {
	return Placement{ledger: id, replicas: replicas, preferredLeader: prefer}
}

// Ledger returns the ledger's id.
func (p Placement) Ledger() ledger.ID { return p.ledger }

// Replicas returns the instances that hold a replica.
func (p Placement) Replicas() []string { return p.replicas }

// PreferredLeader returns the instance that should lead.
func (p Placement) PreferredLeader() string { return p.preferredLeader }

// IsHome reports whether a ledger is a home ledger.
func IsHome(id ledger.ID) bool { return strings.HasPrefix(string(id), homePrefix) }

// HomeDataCentre returns the data centre that a home ledger's name starts with.
func HomeDataCentre(id ledger.ID) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(id), homePrefix), "/")
	return name
}

// HomeOf returns the home ledger of a key: the one that the key's first path
// element names, else the one with the highest rendezvous weight among all
// configured homes. Homes out of reach count too, or a partition would move
// keys.
func HomeOf(homes []ledger.ID, key home.Key) ledger.ID {
	if prefix, _, ok := strings.Cut(key.Name(), "/"); ok {
		for _, id := range homes {
			if string(id) == homePrefix+prefix {
				return id
			}
		}
	}
	return rendezvous(homes, key.String())
}

// HomeOfFingerprint returns the home ledger that counts crashes of a fingerprint.
func HomeOfFingerprint(homes []ledger.ID, fingerprint uint64) ledger.ID {
	var text [8]byte
	for i := range text {
		text[i] = byte(fingerprint >> (8 * i))
	}
	return rendezvous(homes, string(text[:]))
}

// rendezvous returns the id with the highest weight for the text.
func rendezvous(ids []ledger.ID, text string) ledger.ID {
	var best ledger.ID
	var weight uint64
	for _, id := range ids {
		if w := xxhash.Sum64String(string(id) + "\x00" + text); best == "" || w > weight {
			best, weight = id, w
		}
	}
	return best
}
