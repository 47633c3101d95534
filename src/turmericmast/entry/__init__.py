"""The entry aggregate: what one entry instance decides."""
