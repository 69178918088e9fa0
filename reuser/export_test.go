package reuser

// Size returns how many chains of parts are kept.
func (k *Knowledge) Size() int { return len(k.sent) }
