package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// nonceBytes is the size of the random text that a sender must sign.
const nonceBytes = 24

// hello is sent first on a connection.
type hello struct {
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
	nonce := make([]byte, nonceBytes)
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

// validProof reports whether one of the keys made the proof.
func validProof(keys []string, from string, c challenge, p proof) bool {
	valid := false
	for _, key := range keys {
		valid = hmac.Equal([]byte(sign(key, from, c).Mac), []byte(p.Mac)) || valid
	}
	return valid
}
