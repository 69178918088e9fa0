package driver

import "github.com/cespare/xxhash/v2"

// PrefixBlock is the length of a cached prefix block, in bytes of prompt.
const PrefixBlock = 64

// maxPrefixes limits the number of prefixes of one prompt.
const maxPrefixes = 64

// Prefixes returns the hash of each block-aligned prefix of a prompt, the
// shortest first. Engines and routers must compute the same hashes.
func Prefixes(model, prompt string) []uint64 {
	count := min(len(prompt)/PrefixBlock, maxPrefixes)
	hashes := make([]uint64, 0, count)
	h := xxhash.New()
	_, _ = h.WriteString(model)
	for i := range count {
		_, _ = h.WriteString(prompt[i*PrefixBlock : (i+1)*PrefixBlock])
		hashes = append(hashes, h.Sum64())
	}
	return hashes
}
