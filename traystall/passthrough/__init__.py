"""Pass requests through to targets unchanged, with their stages run before."""
