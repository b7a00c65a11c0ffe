package configcodec

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// sealPrefix separates seals from other uses of the operator key.
const sealPrefix = "siskintide accepted configuration\n"

// Seal returns the HMAC-SHA256 of a body under the operator key, as hexadecimal digits. It
// proves that the body comes from a host that has the key.
func Seal(operatorKey string, body []byte) string {
	return hex.EncodeToString(computeSeal(operatorKey, body))
}

// VerifySeal reports whether the seal was computed from the body with the same operator key. It
// compares in constant time.
func VerifySeal(operatorKey string, body []byte, seal string) bool {
	given, err := hex.DecodeString(seal)
	return err == nil && hmac.Equal(given, computeSeal(operatorKey, body))
}

func computeSeal(operatorKey string, body []byte) []byte {
	mac := hmac.New(sha256.New, []byte(operatorKey))
	mac.Write([]byte(sealPrefix))
	mac.Write(body)
	return mac.Sum(nil)
}
