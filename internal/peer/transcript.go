package peer

import (
	"crypto/hmac"
	"crypto/sha256"

	"siskintide.example/siskintide/internal/core"
)

// transcript is the data that both proofs of a handshake cover. The role prevents the
// proof of one end from being accepted as that of the other; the nonces prevent the replay
// of a proof in another handshake.
type transcript struct {
	_               struct{} `cbor:",toarray"`
	Role            string
	Version         uint64
	Dialer          core.HostID
	DialerSession   core.SessionID
	DialerNonce     []byte
	Acceptor        core.HostID
	AcceptorSession core.SessionID
	AcceptorNonce   []byte
}

const (
	roleDialer   = "dialer"
	roleAcceptor = "acceptor"
)

func newTranscript(dialer, acceptor hello) transcript {
	return transcript{
		Version: ProtocolVersion,
		Dialer:  dialer.Host, DialerSession: dialer.Session, DialerNonce: dialer.Nonce,
		Acceptor: acceptor.Host, AcceptorSession: acceptor.Session, AcceptorNonce: acceptor.Nonce,
	}
}

// proof returns the HMAC-SHA256 of the transcript for the given role.
func (t transcript) proof(role string, key []byte) ([]byte, error) {
	t.Role = role
	encoded, err := encoder.Marshal(t)
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(encoded)
	return mac.Sum(nil), nil
}

// verify returns an AuthenticationError unless proof is the proof of the transcript for
// the given role.
func (t transcript) verify(role string, key, proof []byte, claimed core.HostID) error {
	want, err := t.proof(role, key)
	if err != nil {
		return err
	}
	if !hmac.Equal(want, proof) {
		return &AuthenticationError{Claimed: claimed}
	}
	return nil
}
