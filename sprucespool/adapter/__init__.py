"""The bench's wire on one side, `sprucespool.interface` on the other. Translates; decides nothing."""
