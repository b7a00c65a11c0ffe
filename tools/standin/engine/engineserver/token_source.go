package engineserver

import (
	"encoding/binary"
	"math"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// words are the tokens, encoded as JSON strings. Two of them need more than plain ASCII.
var words = [...]string{
	`" the"`, `" slot"`, `" line"`, `" studio"`, `" take"`, `" voice"`, `" of"`, `" brief"`,
	`" order"`, `" shift"`, `" fold"`, `" linen"`, `" note"`, `" hour"`, `" and"`, `" count"`,
	`" clerk"`, `" reads"`, `" warm"`, `" quiet"`, `" second"`, `" page"`, `" to"`, `" check"`,
	`" branch"`, `" list"`, `" with"`, `" press"`, `" ready"`, `" cue"`, `"\n"`, `" Bø"`,
}

// The lengths of answers are distributed lognormally, with a mean of about 205 tokens.
const (
	lengthMedian = 100 // tokens
	lengthSigma  = 1.2
	lengthMax    = 32_768 // tokens
)

// lengthHint finds the length that a prompt of a test asks for.
var lengthHint = regexp.MustCompile(`\[\[length=(\d{1,6})\]\]`)

// source chooses the tokens of one answer.
type source struct {
	base uint64
}

// newSource returns the source of an answer. The salt is zero for engines that give the
// same answer as others.
func newSource(version, prompt string, seed, salt uint64) source {
	digest := xxhash.New()
	_, _ = digest.WriteString(version) // a digest takes every write
	_, _ = digest.WriteString("\x00" + prompt)
	return source{base: mix(digest.Sum64(), seed, salt)}
}

// token returns the JSON string of the token with the number, counted from 1.
func (s source) token(number int) string { return words[s.word(number)] }

// word returns the place in words of the token with the number.
func (s source) word(number int) int {
	return int(mix(s.base, uint64(number), 0) % uint64(len(words)))
}

// outputLength returns how many tokens the answer to a prompt has when nothing bounds it.
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

// mix hashes three numbers.
func mix(a, b, c uint64) uint64 {
	var buffer [24]byte
	binary.LittleEndian.PutUint64(buffer[0:], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	binary.LittleEndian.PutUint64(buffer[16:], c)
	return xxhash.Sum64(buffer[:])
}
