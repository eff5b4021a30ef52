/* Sizes of names and addresses with the terminating NUL. */
#ifndef NAME_H
#define NAME_H

#define NAME_BYTES 65
/* IPv4 or IPv6 address as text. */
#define ADDRESS_BYTES 46
#define REQUEST_ID_BYTES 65
#define SNAPSHOT_BYTES 65

#endif
