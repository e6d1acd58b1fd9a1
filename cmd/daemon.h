/* What the daemons' mains share: options and settings. */
#ifndef DAEMON_H
#define DAEMON_H

#include "wp_settings.h"

/* Reads --config (or the variable WORKSPOINT_SETTINGS), --check and
   --version. Returns the settings, or NULL with
   the exit code in `code`. `from`, unless NULL, is set to the file's name; free
   it with g_free(). */
void *daemon_settings(int argc, char **argv, const char *summary,
                      const ProtobufCMessageDescriptor *shape, char **from,
                      int *code);

/* Prints the error, if there is one, and frees it; returns the exit code. */
int daemon_fail(GError *error);

enum { EXIT_OK = 0, EXIT_BAD_INPUT = 2, EXIT_CONFLICT = 3, EXIT_CONTACT = 4 };

#endif
