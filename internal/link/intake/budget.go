package intake

// Shares of the budget. They cover what a request occupies from its first byte until its
// answer is written, including what decoding allocates.
const (
	// bytesPerHeadByte and bytesPerHeadLine are what the parsed head of a request
	// occupies: a field of a few bytes takes an entry of a map, a slice and a string.
	bytesPerHeadByte = 4
	bytesPerHeadLine = 256
	// bytesPerBodyByte covers the body, a copy of each step and each string, and the
	// record that is sent to the store. bodyBytes covers its fixed parts.
	bytesPerBodyByte = 4
	bodyBytes        = 16 * kib
	// smallBody is the length up to which a body may use the whole budget. A real job
	// has a payload of up to 4,000 bytes and a few steps.
	smallBody = 16 * kib
	// largeBodyPercent is the part of the budget that longer bodies may fill, so that
	// they cannot keep real jobs out.
	largeBodyPercent = 75
)

// budget is the memory that requests share.
type budget struct{ capacity, used int64 }

// reserve takes n bytes if they fit.
func (b *budget) reserve(n int64, large bool) bool {
	capacity := b.capacity
	if large {
		capacity = capacity * largeBodyPercent / 100
	}
	if b.used+n > capacity {
		return false
	}
	b.used += n
	return true
}

func (b *budget) release(n int64) { b.used -= n }

// headShare returns the memory of a head with so many bytes and lines.
func headShare(bytes, lines int) int64 {
	return int64(bytes)*bytesPerHeadByte + int64(lines)*bytesPerHeadLine
}

// bodyShare returns the memory of a body.
func bodyShare(bytes int) int64 { return int64(bytes)*bytesPerBodyByte + bodyBytes }
