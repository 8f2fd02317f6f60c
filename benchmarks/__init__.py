"""Long measurements, kept out of CI: commands that start the program and speak to it over loopback."""
