package coordinator

import (
	"cmp"
	"maps"
	"slices"

	"primrosehook/registrar"
	"primrosehook/tailer"
)

// noPosition is the position of an instance that has read nothing yet.
const noPosition = -1

// replaceRecords applies the newest registry record of each key, which were read up to the position
// next. Keys that are gone count as removed just before it: when they were is not known.
func (c *clusterState) replaceRecords(list []tailer.Record, next int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startEra(next)
	listed := make(map[string]bool, len(list))
	for _, x := range list {
		listed[x.Key] = true
	}
	for key, x := range c.records {
		if x.Offset < next && x.Value != nil && !listed[key] {
			c.records[key] = tailer.Record{Offset: next - 1, Key: key}
		}
	}
	c.addRecords(list)
	c.completeFrom = max(c.completeFrom, next)
}

// updateRegistry applies new registry records and the servers that result.
func (c *clusterState) updateRegistry(list []tailer.Record, servers []registrar.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addRecords(list)
	if len(c.records) > maxRemovals+len(servers) {
		c.dropRemovals()
	}
	c.recordStarts(c.clock.Now(), servers)
	c.seen.update(c.clock.Now(), servers)
	c.servers, c.hasRegistry = servers, true
	if len(list) > 0 {
		c.triggerPlan()
	}
}

// addRecords adds registry records. c.mu must be held.
func (c *clusterState) addRecords(list []tailer.Record) {
	for _, x := range list {
		c.startEra(x.Offset)
		if old, ok := c.records[x.Key]; !ok || x.Offset > old.Offset {
			c.records[x.Key] = x
		}
	}
}

// dropRemovals drops all removals. c.mu must be held.
func (c *clusterState) dropRemovals() {
	maps.DeleteFunc(c.records, func(_ string, x tailer.Record) bool {
		if x.Value == nil {
			c.completeFrom = max(c.completeFrom, x.Offset+1)
		}
		return x.Value == nil
	})
}

// startEra drops the records of earlier eras when a position of a new era arrives. c.mu must
// be held.
func (c *clusterState) startEra(position int64) {
	era, _ := tailer.SplitPosition(position)
	if era <= c.era {
		return
	}
	c.era = era
	c.completeFrom = max(c.completeFrom, tailer.Position(era, 0))
	maps.DeleteFunc(c.records, func(_ string, x tailer.Record) bool {
		recordEra, _ := tailer.SplitPosition(x.Offset)
		return recordEra < era
	})
}

// recordsFrom returns the records that an instance needs which has everything before a position. They
// are whole if they replace all that it has, since removals that it has not heard of may be missing.
// c.mu must be held.
func (c *clusterState) recordsFrom(position int64) (list []tailer.Record, whole bool) {
	whole = position < c.completeFrom
	for _, x := range c.records {
		if x.Offset >= position || whole && x.Value != nil {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b tailer.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return list, whole
}
