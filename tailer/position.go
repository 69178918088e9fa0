package tailer

// eraBits is how many bits of a position hold the offset.
const eraBits = 40

// Position returns the position of an offset in an era of the store. A store that
// comes back from an older copy begins a new era, in which it gives out again the
// offsets of the records that it has lost. Positions order records of all eras: an
// instance takes them for offsets and never confuses two records.
func Position(era, offset int64) int64 { return era<<eraBits | offset }

// SplitPosition returns the era and the offset of a position.
func SplitPosition(position int64) (era, offset int64) {
	return position >> eraBits, position & (1<<eraBits - 1)
}

// LostRecords reports whether a read from a position, which returned count records and the
// position to read on, shows that records in between are gone unseen: those of an era that has
// ended, of offsets that are given out again, or all of those that were left.
func LostRecords(from, next int64, count int) bool {
	oldEra, _ := SplitPosition(from)
	era, _ := SplitPosition(next)
	return era != oldEra || next < from || count == 0 && next > from
}
