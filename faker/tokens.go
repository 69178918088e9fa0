package faker

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"primrosehook/driver"
)

// Parameters of the length of an answer, in tokens.
const (
	defaultTokens     = 256
	echoTokens        = 12
	minRandomTokens   = 8
	randomTokenSpread = 64
	// bytesPerToken is how many bytes of a prompt count as one token.
	bytesPerToken = 4
)

var vocabulary = strings.Fields(`amp bass beat branch chord drum exit fader form gear
	hall home key kiosk late leave light loop manager member mic mix mute night note
	open pedal plan quiet receipt reply riff room roster shift sign snare song sound
	stage string survey team tempo theme tone track tune voice week work`)

// Answer returns the tokens that an engine generates for a request. It is a
// pure function of the model, adapter, version, prompt, seed and MaxTokens. An
// engine replaces a seed of zero, so that each run gives a different text.
func Answer(q driver.Request) []driver.Token {
	limit := q.MaxTokens
	if limit <= 0 {
		limit = defaultTokens
	}
	words := echo(q)
	h := seedHash(q)
	length := len(words) + minRandomTokens + int(h%randomTokenSpread)
	count := min(length, limit)
	tokens := make([]driver.Token, 0, count)
	for i := range count {
		word := ""
		if i < len(words) {
			word = words[i]
		} else {
			word = vocabulary[pick(h, i)%uint64(len(vocabulary))]
		}
		tokens = append(tokens, driver.Token{Offset: i, Text: word + " "})
	}
	last := &tokens[count-1]
	last.Finish = "stop"
	if count < length {
		last.Finish = "length"
	}
	last.PromptTokens = promptTokens(q.Prompt)
	return tokens
}

// Text returns the concatenated text of tokens.
func Text(tokens []driver.Token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(t.Text)
	}
	return b.String()
}

// echo returns the first words of an answer, which identify the model, the
// adapter and the prompt to a reader.
func echo(q driver.Request) []string {
	name := q.Model
	if q.Adapter != "" {
		name += "+" + q.Adapter
	}
	words := append([]string{name, "answers:"}, strings.Fields(q.Prompt)...)
	return words[:min(len(words), echoTokens)]
}

func seedHash(q driver.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{q.Model, q.Adapter, q.Version, q.Prompt} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], uint64(q.Seed))
	_, _ = h.Write(seed[:])
	return h.Sum64()
}

func pick(seed uint64, i int) uint64 {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], seed)
	binary.BigEndian.PutUint64(key[8:], uint64(i))
	return xxhash.Sum64(key[:])
}

func promptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }
