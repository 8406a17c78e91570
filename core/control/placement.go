package control

import (
	"strings"

	"papayaquay/core/home"
	"papayaquay/core/ledger"

	"github.com/cespare/xxhash/v2"
)

// ConfigLedger is the id of the configuration ledger.
const ConfigLedger ledger.ID = "config"

// homePrefix is the prefix of the id of every home ledger. After it comes the name
// of the data centre, or a longer name that begins with it and a slash.
const homePrefix = "home/"

// localPrefix is the prefix of the id of every local ledger. After it comes the
// name of the data centre.
const localPrefix = "local/"

// LocalLedger returns the id of a data centre's local ledger, which stores answers
// while their home ledger is unreachable.
func LocalLedger(dataCentre string) ledger.ID { return ledger.ID(localPrefix + dataCentre) }

// IsLocal reports whether a ledger is a local ledger.
func IsLocal(id ledger.ID) bool { return strings.HasPrefix(string(id), localPrefix) }

// Placement lists the instances that hold the replicas of a ledger.
type Placement struct {
	ledger          ledger.ID
	replicas        []string
	preferredLeader string
}

// NewPlacement returns a placement. preferredLeader is the instance that should
// lead the ledger, or the empty string.
func NewPlacement(id ledger.ID, replicas []string, preferredLeader string) Placement {
	return Placement{ledger: id, replicas: replicas, preferredLeader: preferredLeader}
}

// Ledger returns the ledger's id.
func (p Placement) Ledger() ledger.ID { return p.ledger }

// Replicas returns the instances that hold a replica.
func (p Placement) Replicas() []string { return p.replicas }

// PreferredLeader returns the instance that should lead the ledger, or the empty
// string.
func (p Placement) PreferredLeader() string { return p.preferredLeader }

// IsHome reports whether a ledger is a home ledger.
func IsHome(id ledger.ID) bool { return strings.HasPrefix(string(id), homePrefix) }

// HomeDataCentre returns the data centre that the id of a home ledger names.
func HomeDataCentre(id ledger.ID) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(id), homePrefix), "/")
	return name
}

// HomeOf returns the home ledger of a key. If the first path element of the key
// names a home ledger, HomeOf returns that one. Otherwise it selects one of all
// configured home ledgers by rendezvous hashing. The selection includes unreachable
// home ledgers, because otherwise a partition would move keys.
func HomeOf(homes []ledger.ID, key home.Key) ledger.ID {
	if prefix, _, ok := strings.Cut(key.Name(), "/"); ok {
		for _, id := range homes {
			if string(id) == homePrefix+prefix {
				return id
			}
		}
	}
	return highestWeight(homes, key.String())
}

// HomeOfFingerprint returns the home ledger that counts the crashes of a
// fingerprint. It is selected by rendezvous hashing.
func HomeOfFingerprint(homes []ledger.ID, fingerprint uint64) ledger.ID {
	var text [8]byte
	for i := range text {
		text[i] = byte(fingerprint >> (8 * i))
	}
	return highestWeight(homes, string(text[:]))
}

// highestWeight returns the id with the highest rendezvous weight for the text.
func highestWeight(ids []ledger.ID, text string) ledger.ID {
	var best ledger.ID
	var weight uint64
	for _, id := range ids {
		if w := xxhash.Sum64String(string(id) + "\x00" + text); best == "" || w > weight {
			best, weight = id, w
		}
	}
	return best
}
