/** Program of the daemon on an entry host of the users' platform. */
@NullMarked
package org.limpetring.entryd;

import org.jspecify.annotations.NullMarked;
