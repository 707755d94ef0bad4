/** Daemon program for the entry hosts of the users' platform. */
@NullMarked
package org.limpetring.entryd;

import org.jspecify.annotations.NullMarked;
