package differences

// Size returns the number of cached versions, and the bytes that count against the limit.
func (c *Cache) Size() (count, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.versions), c.size()
}
