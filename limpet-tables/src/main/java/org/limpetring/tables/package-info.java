/** Routes, pools and service marks: format, validation and the configuration joined from them. */
@NullMarked
package org.limpetring.tables;

import org.jspecify.annotations.NullMarked;
