package ledger

// answerCache holds the newest answers up to a size limit. An evicted answer is
// read from the log at the offset of its record.
type answerCache struct {
	limitBytes int
	bytes      int
	answers    map[orderID]*StoredAnswer
	order      []orderID // oldest first; may hold ids that were removed from answers
}

func newAnswerCache(limitBytes int) *answerCache {
	return &answerCache{limitBytes: limitBytes, answers: map[orderID]*StoredAnswer{}}
}

func (c *answerCache) get(k orderID) *StoredAnswer { return c.answers[k] }

func (c *answerCache) add(k orderID, a *StoredAnswer) {
	if a == nil {
		a = &StoredAnswer{}
	}
	for len(c.order) > 0 && c.answers[c.order[0]] == nil {
		c.order = c.order[1:]
	}
	c.answers[k] = a
	c.order = append(c.order, k)
	c.bytes += answerSize(a)
	for c.bytes > c.limitBytes {
		c.remove(c.order[0])
		c.order = c.order[1:]
	}
}

func (c *answerCache) remove(k orderID) {
	if a, ok := c.answers[k]; ok {
		c.bytes -= answerSize(a)
		delete(c.answers, k)
	}
}

func answerSize(a *StoredAnswer) int { return len(a.Body) + len(a.ContentType) + answerOverheadBytes }
