/* "cowslippoint serve": one host with all its duties. */
#ifndef SERVE_H
#define SERVE_H

/*
 * Runs the host until SIGTERM or SIGINT, then shuts down gracefully. Returns
 * the exit status: 0 after a shutdown, 1 when the host cannot start, 2 for
 * wrong settings.
 */
int serve_main(int argc, char **argv);

#endif
