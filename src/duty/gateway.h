/* "cowslippoint gateway": one host of the query tier on the platform. */
#ifndef GATEWAY_H
#define GATEWAY_H

/*
 * Runs until SIGTERM or SIGINT, then shuts down gracefully. Returns the exit
 * status: 0 after a shutdown, 1 when it cannot start, 2 for wrong settings.
 */
int gateway_main(int argc, char **argv);
/* "cowslippoint check": reads the settings file and says what is wrong. */
int gateway_check_main(int argc, char **argv);

#endif
