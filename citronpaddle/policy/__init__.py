"""Decision logic without input or output, driven by messages and a clock value in ms."""
