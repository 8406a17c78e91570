package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// challengeBytes is the size of the random text that a sender must sign.
const challengeBytes = 24

// greeting is sent first on a connection.
type greeting struct {
	From string `json:"from"`
}

// challenge answers a greeting.
type challenge struct {
	Nonce string `json:"nonce"`
}

// proof answers a challenge.
type proof struct {
	Mac string `json:"mac"`
}

// newChallenge draws a challenge.
func newChallenge() (challenge, error) {
	nonce := make([]byte, challengeBytes)
	if _, err := rand.Read(nonce); err != nil {
		return challenge{}, errors.Wrap(err, "draw challenge")
	}
	return challenge{Nonce: hex.EncodeToString(nonce)}, nil
}

// sign returns the proof of a sender for the receiver's challenge.
func sign(key, from string, c challenge) proof {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(c.Nonce + "\x00" + from))
	return proof{Mac: hex.EncodeToString(mac.Sum(nil))}
}

// accepts reports whether one of the keys made the proof.
func accepts(keys []string, from string, c challenge, p proof) bool {
	valid := false
	for _, key := range keys {
		valid = hmac.Equal([]byte(sign(key, from, c).Mac), []byte(p.Mac)) || valid
	}
	return valid
}
