package configcodec

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// sealPurpose keeps a seal apart from any other use of the operator key.
const sealPurpose = "siskintide accepted configuration\n"

// Seal returns the proof, as hexadecimal digits, that a host with the operator key had
// this body in force.
func Seal(operatorKey string, body []byte) string {
	return hex.EncodeToString(sealOf(operatorKey, body))
}

// VerifySeal reports whether the seal belongs to the body. It compares in constant time.
func VerifySeal(operatorKey string, body []byte, seal string) bool {
	given, err := hex.DecodeString(seal)
	return err == nil && hmac.Equal(given, sealOf(operatorKey, body))
}

func sealOf(operatorKey string, body []byte) []byte {
	mac := hmac.New(sha256.New, []byte(operatorKey))
	mac.Write([]byte(sealPurpose))
	mac.Write(body)
	return mac.Sum(nil)
}
