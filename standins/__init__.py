"""Small stand-ins for the platform, upstreams and callers."""
