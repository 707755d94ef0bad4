/**
 * Routes, pools and service marks: their form, their checks and the configuration joined from them.
 */
@NullMarked
package org.limpetring.tables;

import org.jspecify.annotations.NullMarked;
