package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// nonceBytes is the number of random bytes that a sender must sign.
const nonceBytes = 24

// hello is the first message on a connection.
type hello struct {
	From string `json:"from"`
}

// challenge is the response to a hello.
type challenge struct {
	Nonce string `json:"nonce"`
}

// proof is the response to a challenge.
type proof struct {
	Mac string `json:"mac"`
}

// newChallenge returns a challenge with a random nonce.
func newChallenge() (challenge, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return challenge{}, errors.Wrap(err, "draw challenge")
	}
	return challenge{Nonce: hex.EncodeToString(nonce)}, nil
}

// sign returns a sender's proof for the receiver's challenge: an HMAC-SHA256 of
// the nonce and the sender's name.
func sign(key, from string, c challenge) proof {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(c.Nonce + "\x00" + from))
	return proof{Mac: hex.EncodeToString(mac.Sum(nil))}
}

// validProof reports whether the proof was signed with one of the keys.
func validProof(keys []string, from string, c challenge, p proof) bool {
	valid := false
	for _, key := range keys {
		valid = hmac.Equal([]byte(sign(key, from, c).Mac), []byte(p.Mac)) || valid
	}
	return valid
}
