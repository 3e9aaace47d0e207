"""Stand-ins of outside systems as processes on loopback: invokers, roster, model library and clients, and the stage
that plays a scripted day with them. They show how the program behaves; measurements of them do not apply to real
invokers."""
