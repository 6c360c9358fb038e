"""Parts that the scripts of cases 11 to 15 share."""
