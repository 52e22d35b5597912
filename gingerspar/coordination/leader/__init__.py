"""What the leader of the term does: decides, commands, keeps the term or gives it up."""
