"""Value types, messages and errors that all other packages use."""
