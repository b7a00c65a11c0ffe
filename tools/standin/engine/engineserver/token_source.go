package engineserver

import (
	"encoding/binary"
	"math"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// words is the vocabulary, encoded as JSON strings. Two entries are not plain ASCII letters.
var words = [...]string{
	`" the"`, `" slot"`, `" line"`, `" studio"`, `" take"`, `" voice"`, `" of"`, `" brief"`,
	`" order"`, `" shift"`, `" fold"`, `" linen"`, `" note"`, `" hour"`, `" and"`, `" count"`,
	`" clerk"`, `" reads"`, `" warm"`, `" quiet"`, `" second"`, `" page"`, `" to"`, `" check"`,
	`" branch"`, `" list"`, `" with"`, `" press"`, `" ready"`, `" cue"`, `"\n"`, `" Bø"`,
}

// Output lengths are distributed lognormally, with a mean of about 205 tokens.
const (
	lengthMedian = 100 // tokens
	lengthSigma  = 1.2
	lengthMax    = 32_768 // tokens
)

// lengthHint matches the output length that a test's prompt requests.
var lengthHint = regexp.MustCompile(`\[\[length=(\d{1,6})\]\]`)

// tokenSource generates the tokens of one response.
type tokenSource struct {
	hash uint64
}

// newTokenSource returns the source for a response. A salt of zero gives the output that all
// engines share; FaultNondeterministic sets another one.
func newTokenSource(version, prompt string, seed, salt uint64) tokenSource {
	digest := xxhash.New()
	_, _ = digest.WriteString(version) // never fails
	_, _ = digest.WriteString("\x00" + prompt)
	return tokenSource{hash: mix(digest.Sum64(), seed, salt)}
}

// token returns token number, counted from 1, as a JSON string.
func (s tokenSource) token(number int) string { return words[s.wordIndex(number)] }

// wordIndex returns the index in words of token number.
func (s tokenSource) wordIndex(number int) int {
	return int(mix(s.hash, uint64(number), 0) % uint64(len(words)))
}

// outputLength returns the number of output tokens for a prompt without a token limit.
func outputLength(prompt string, seed uint64) int {
	if hint := lengthHint.FindStringSubmatch(prompt); hint != nil {
		if n, err := strconv.Atoi(hint[1]); err == nil && n > 0 {
			return n
		}
	}
	hash := mix(xxhash.Sum64String(prompt), seed, 1)
	u1 := (float64(hash>>32) + 1) / (1 << 32)
	u2 := float64(hash&math.MaxUint32) / (1 << 32)
	normal := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
	length := lengthMedian * math.Exp(lengthSigma*normal)
	return int(min(max(length, 1), lengthMax))
}

// mix returns a hash of three numbers.
func mix(a, b, c uint64) uint64 {
	var buffer [24]byte
	binary.LittleEndian.PutUint64(buffer[0:], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	binary.LittleEndian.PutUint64(buffer[16:], c)
	return xxhash.Sum64(buffer[:])
}
