/*
 * The subcommands "cowslippoint gateway", which runs one host of the query tier
 * on the platform, and "cowslippoint check".
 */
#ifndef GATEWAY_H
#define GATEWAY_H

/*
 * Runs until SIGTERM or SIGINT, then shuts down gracefully. Returns the exit
 * status: 0 after a shutdown, 1 when it cannot start, 2 for wrong settings.
 */
int gateway_main(int argc, char **argv);
/*
 * Reads the settings file and prints the first fault, or that it is valid.
 * Returns the exit status: 0 if the file is valid, 2 if not.
 */
int gateway_check_main(int argc, char **argv);

#endif
