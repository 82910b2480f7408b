package ledger

// answerCache keeps the newest answers up to a number of bytes. An answer that
// is not kept is read from the log at the offset of its record.
type answerCache struct {
	limit   int
	bytes   int
	answers map[id]*StoredAnswer
	order   []id // oldest first; ids that were removed stay until their turn
}

func newAnswerCache(limit int) *answerCache {
	return &answerCache{limit: limit, answers: map[id]*StoredAnswer{}}
}

func (c *answerCache) get(k id) *StoredAnswer { return c.answers[k] }

func (c *answerCache) add(k id, a *StoredAnswer) {
	if a == nil {
		a = &StoredAnswer{}
	}
	for len(c.order) > 0 && c.answers[c.order[0]] == nil {
		c.order = c.order[1:]
	}
	c.answers[k] = a
	c.order = append(c.order, k)
	c.bytes += cost(a)
	for c.bytes > c.limit {
		c.remove(c.order[0])
		c.order = c.order[1:]
	}
}

func (c *answerCache) remove(k id) {
	if a, ok := c.answers[k]; ok {
		c.bytes -= cost(a)
		delete(c.answers, k)
	}
}

func cost(a *StoredAnswer) int { return len(a.Body) + len(a.ContentType) + answerCost }
