/* Command line options, settings and exit codes of the programs. */
#ifndef DAEMON_H
#define DAEMON_H

#include "wp_settings.h"

/* Parses the options of a daemon and reads its settings file, which is named by
   --config or the environment variable WORKSPOINT_SETTINGS. `summary` is shown
   by --help. `type` is the protobuf type of the settings.

   Returns the settings, to be freed with wp_pb_free(). Returns NULL if the
   process is to exit with `*code`: after --check and --version, or after an
   error, which has been printed. Unless `file_used` is NULL, it is set to the
   name of the settings file, to be freed with g_free(). */
void *daemon_load_settings(int argc, char **argv, const char *summary,
                           const ProtobufCMessageDescriptor *type,
                           char **file_used, int *code);

/* Prints the error on stderr and frees it, unless it is NULL. Returns
   EXIT_BAD_INPUT. */
int daemon_report_error(GError *error);

enum {
    EXIT_OK = 0,
    EXIT_BAD_INPUT = 2,
    EXIT_CONFLICT = 3,   /* the store has a newer change by somebody else */
    EXIT_UNAVAILABLE = 4 /* the store or a box does not answer, or a change is
                            not active on every box yet */
};

#endif
