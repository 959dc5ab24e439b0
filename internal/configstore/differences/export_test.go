package differences

// Size returns the number of cached versions and the number of bytes that count towards Limits.Bytes.
func (c *Cache) Size() (count, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.versions), c.size()
}
